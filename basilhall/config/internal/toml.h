// Configures and includes toml++. Private to this folder.
#pragma once

// Some assertions of the library fail on malformed input, such as `[=`, which it then reports as a
// syntax error anyway. So its assertions are disabled, and NDEBUG is undefined to keep the library
// from turning them into optimiser hints.
#undef NDEBUG
#define TOML_ASSERT(expression) static_assert(true)
#define TOML_EXCEPTIONS 0
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

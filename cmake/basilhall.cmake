# Targets of the project. A library is named after its folder: basilhall/base is basilhall_base.

add_library(basilhall_flags INTERFACE)
target_compile_options(basilhall_flags INTERFACE -Wall -Wextra -Werror)
# GCC 12 reports the frame allocator of Asio's coroutines once it has inlined only one half of it.
target_compile_options(basilhall_flags INTERFACE
  $<$<CXX_COMPILER_ID:GNU>:-Wno-mismatched-new-delete>)
target_include_directories(basilhall_flags INTERFACE ${PROJECT_SOURCE_DIR})
target_compile_definitions(basilhall_flags INTERFACE BOOST_ASIO_NO_DEPRECATED)
target_link_libraries(basilhall_flags INTERFACE Threads::Threads)

# Fails if a target lists files before a keyword, which CMake would ignore.
function(basilhall_require_parsed name unparsed)
  if(unparsed)
    message(FATAL_ERROR "Target ${name}: not part of SOURCES or DEPENDS: ${unparsed}")
  endif()
endfunction()

# basilhall_library(NAME SOURCES a.cpp ... DEPENDS other_library ...)
function(basilhall_library name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  basilhall_require_parsed(${name} "${arg_UNPARSED_ARGUMENTS}")
  add_library(${name} STATIC ${arg_SOURCES})
  target_link_libraries(${name} PUBLIC basilhall_flags ${arg_DEPENDS})
endfunction()

# basilhall_test(NAME SOURCES a_test.cpp ... DEPENDS library ...)
# Each source may hold several Boost.Test suites; the target is one CTest test.
function(basilhall_test name)
  if(NOT BASILHALL_TESTS)
    return()
  endif()
  cmake_parse_arguments(arg "" "" "SOURCES;DEPENDS" ${ARGN})
  basilhall_require_parsed(${name} "${arg_UNPARSED_ARGUMENTS}")
  add_executable(${name} ${PROJECT_SOURCE_DIR}/cmake/test_main.cpp ${arg_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE basilhall_flags ${arg_DEPENDS} Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
  # A test that hangs fails by name long before the whole run is ended.
  set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()

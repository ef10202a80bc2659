// An operation on the object API, requested by a state machine and executed by a driver.
//
//     std::vector<store::Operation> operations = writer.flush(now);
//     // The driver executes each one and then calls writer.onOutcome(id, outcome, now).
#pragma once

#include "basilhall/store/object.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace basilhall::store
{

// Creates the object; StoreConflict if it exists.
struct Create {
    ObjectKey key;
    std::string data;
    auto operator<=>(const Create &) const = default;
};

// Replaces the object if its version is still `expected`; StoreConflict otherwise.
struct Update {
    ObjectKey key;
    std::string data;
    ResourceVersion expected;
    auto operator<=>(const Update &) const = default;
};

// Reads the object; NotFound if it does not exist.
struct Read {
    ObjectKey key;
    auto operator<=>(const Read &) const = default;
};

// Reads all objects of a kind whose name starts with `prefix`, in name order; if `after` is set,
// only those whose name is greater.
struct List {
    std::string kind;
    std::string prefix;
    std::string after{};
    auto operator<=>(const List &) const = default;
};

// Deletes the object, if `expected` is set only while its version is still that; StoreConflict
// otherwise. NotFound if it does not exist.
struct Remove {
    ObjectKey key;
    std::optional<ResourceVersion> expected{};
    auto operator<=>(const Remove &) const = default;
};

using Request = std::variant<Create, Update, Read, List, Remove>;

// Identifies an operation among those of its requester, which chooses the value.
using OperationId = std::uint64_t;

// A request and the identifier under which its outcome is reported.
struct Operation {
    OperationId id;
    Request request;
    auto operator<=>(const Operation &) const = default;
};

// Returns a short description such as `create journals/ab-0001` for logs.
std::string describe(const Request &request);

} // namespace basilhall::store

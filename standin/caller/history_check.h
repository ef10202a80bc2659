// Compares a program's history as the server tells it with what the caller saw.
#pragma once

#include <string>
#include <vector>

namespace standin
{

// One turn as the caller saw it.
struct HistoryEntry {
    enum class Kind { Model, Service, Unknown };

    Kind kind = Kind::Model;
    // Content of the caller's message.
    std::string question;
    // Content of the assistant's message, or the service's answer.
    std::string answer;
};

// Returns what is missing, out of order or different; nothing if the history is whole.
std::vector<std::string> historyFaults(const std::string &document,
                                       const std::vector<HistoryEntry> &expected);

} // namespace standin

#include "standin/caller/history_check.h"

#include <boost/json.hpp>

namespace standin
{

namespace json = boost::json;

namespace
{

std::string contentOf(const json::value &message)
{
    return json::value_to<std::string>(message.at("content"));
}

// Returns what is wrong with one turn, or an empty text.
std::string turnFault(const json::object &turn, const HistoryEntry &expected)
{
    const auto outcome = json::value_to<std::string>(turn.at("outcome"));
    if (expected.kind == HistoryEntry::Kind::Unknown) {
        return outcome == "unknown" ? "" : "outcome " + outcome + ", the caller was told unknown";
    }
    if (outcome != "done") {
        return "outcome " + outcome;
    }
    if (expected.kind == HistoryEntry::Kind::Service) {
        const bool same = turn.at("answer") == json::parse(expected.answer);
        return same ? "" : "another service answer";
    }
    const json::array &messages = turn.at("messages").as_array();
    if (messages.size() != 2) {
        return std::to_string(messages.size()) + " messages";
    }
    if (contentOf(messages[0]) != expected.question) {
        return "another question: " + contentOf(messages[0]);
    }
    return contentOf(messages[1]) == expected.answer ? ""
                                                     : "another answer: " + contentOf(messages[1]);
}

} // namespace

std::vector<std::string> historyFaults(const std::string &document,
                                       const std::vector<HistoryEntry> &expected)
{
    std::vector<std::string> faults;
    try {
        const json::value parsed = json::parse(document);
        const json::array &turns = parsed.at("turns").as_array();
        if (turns.size() != expected.size()) {
            faults.push_back(std::to_string(turns.size()) + " turns, expected "
                             + std::to_string(expected.size()));
        }
        for (std::size_t i = 0; i < turns.size() && i < expected.size(); ++i) {
            const json::object &turn = turns[i].as_object();
            if (turn.at("turn").to_number<std::size_t>() != i + 1) {
                faults.push_back("turn " + std::to_string(i + 1) + " is out of order");
            }
            const std::string fault = turnFault(turn, expected[i]);
            if (!fault.empty()) {
                faults.push_back("turn " + std::to_string(i + 1) + ": " + fault);
            }
        }
    } catch (const std::exception &error) {
        faults.push_back("not readable: " + std::string(error.what()));
    }
    return faults;
}

} // namespace standin

#include "basilhall/command/internal/address_option.h"
#include "basilhall/command/internal/argument_parser.h"
#include "basilhall/command/internal/operator_client.h"
#include "basilhall/command/subcommand.h"
#include "basilhall/operator/percent.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

namespace basilhall::command
{

namespace
{

namespace json = boost::json;

void printText(const json::value &document, std::ostream &out)
{
    if (!document.is_object()) {
        out << json::serialize(document) << '\n';
        return;
    }
    for (const auto &[key, value] : document.get_object()) {
        out << key << ": ";
        if (value.is_string()) {
            out << std::string_view(value.get_string()) << '\n';
        } else {
            out << json::serialize(value) << '\n';
        }
    }
}

// True if the process that answered owns the program; an owner's answer does not deny it.
bool isFromOwner(const json::value &document)
{
    const json::value *const isHere =
        document.is_object() ? document.get_object().if_contains("is_here") : nullptr;
    return isHere == nullptr || !isHere->is_bool() || isHere->get_bool();
}

// Asks one process after the other until the owner answers; else returns the last answer.
Result<json::value> findProgram(const std::vector<Address> &entries, const std::string &program)
{
    const std::string target = "/programs/" + operators::percentEncode(program);
    Result<json::value> last = Error(ErrorKind::Unavailable, "no process was asked");
    for (const Address &entry : entries) {
        Result<json::value> answer = internal::askForJson(entry, target);
        const bool isFinal =
            answer ? isFromOwner(answer.value()) : answer.error().kind() == ErrorKind::NotFound;
        if (isFinal) {
            return answer;
        }
        if (answer || !last) {
            last = std::move(answer);
        }
    }
    return last;
}

} // namespace

ExitCode runExplain(const Arguments &arguments, const Streams &streams)
{
    internal::ArgumentParser parser(
        {"explain",
         "Tells where a program is and what it waits for.",
         "PROGRAM",
         {"basilhall explain order-17 --entry 127.0.0.1:8082 --entry 127.0.0.2:8082"},
         "The process that owns the program tells all of it, any other one where the owner is.\n"
         "Exit codes: 0 shown, 1 the program does not exist, 2 wrong usage, 3 no answer."});
    TCLAP::MultiArg<std::string> entries(
        "", "entry", "Operator address of an entry process; may be given several times.", true,
        "IP:PORT", parser.line());
    internal::OutputOption output(parser.line());
    TCLAP::UnlabeledValueArg<std::string> program("program", "Identifier of the program.", true, "",
                                                  "PROGRAM", parser.line());
    if (const auto code = parser.parse(arguments, streams)) {
        return *code;
    }
    const auto addresses = internal::parseAddresses(entries.getValue(), streams);
    if (!addresses) {
        return ExitCode::Usage;
    }
    const Result<json::value> document = findProgram(*addresses, program.getValue());
    if (!document) {
        streams.err << "basilhall explain: " << document.error().message() << '\n';
        return internal::exitCodeOf(document.error());
    }
    if (output.isJson()) {
        streams.out << json::serialize(document.value()) << '\n';
    } else {
        printText(document.value(), streams.out);
    }
    return ExitCode::Ok;
}

} // namespace basilhall::command

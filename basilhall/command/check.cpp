#include "basilhall/command/internal/argument_parser.h"
#include "basilhall/command/internal/files.h"
#include "basilhall/command/subcommand.h"
#include "basilhall/config/fault.h"
#include "basilhall/manifest/parser.h"
#include "basilhall/settings/parser.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <ostream>

namespace basilhall::command
{

namespace
{

namespace json = boost::json;

// What one file is and what is wrong with it.
struct CheckedFile {
    std::string path;
    std::string kind;
    config::Faults faults;
};

CheckedFile checkFile(const std::string &path)
{
    const Result<std::string> text = internal::readFile(path);
    if (!text) {
        return {path, "unreadable", {{path, 0, 0, "", text.error().message()}}};
    }
    if (settings::isSettings(text.value())) {
        return {path, "settings", settings::parse(path, text.value()).faults};
    }
    return {path, "manifest", manifest::parse(path, text.value()).faults};
}

json::object toJson(const CheckedFile &file)
{
    json::array faults;
    for (const config::Fault &fault : file.faults) {
        faults.push_back({{"file", fault.file},
                          {"line", fault.line},
                          {"column", fault.column},
                          {"field", fault.field},
                          {"message", fault.message}});
    }
    return {{"file", file.path}, {"kind", file.kind}, {"faults", std::move(faults)}};
}

void printText(const CheckedFile &file, std::ostream &out)
{
    for (const config::Fault &fault : file.faults) {
        out << toString(fault) << '\n';
    }
    if (file.faults.empty()) {
        out << file.path << ": " << file.kind << " without faults\n";
    }
}

} // namespace

ExitCode runCheck(const Arguments &arguments, const Streams &streams)
{
    internal::ArgumentParser parser(
        {"check",
         "Checks manifests and settings and lists every fault.",
         "FILE...",
         {"basilhall check manifest.toml", "basilhall check --output json entry.toml agent.toml"},
         "A file with the key `process` is read as settings, any other as a manifest."});
    internal::OutputOption output(parser.line());
    TCLAP::UnlabeledMultiArg<std::string> files("files", "Files to check.", true, "FILE",
                                                parser.line());
    if (const auto code = parser.parse(arguments, streams)) {
        return *code;
    }
    json::array documents;
    bool isWhole = true;
    for (const std::string &path : files.getValue()) {
        const CheckedFile file = checkFile(path);
        isWhole = isWhole && file.faults.empty();
        if (output.isJson()) {
            documents.push_back(toJson(file));
        } else {
            printText(file, streams.out);
        }
    }
    if (output.isJson()) {
        streams.out << json::serialize(documents) << '\n';
    }
    return isWhole ? ExitCode::Ok : ExitCode::Wrong;
}

} // namespace basilhall::command

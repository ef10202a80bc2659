#include "basilhall/command/error_page.h"
#include "basilhall/command/internal/argument_parser.h"

#include "basilhall/command/subcommand.h"
#include "basilhall/manifest/reference_page.h"
#include "basilhall/metrics/reference_page.h"
#include "basilhall/settings/reference_page.h"

#include <ostream>

namespace basilhall::command
{

ExitCode runDocs(const Arguments &arguments, const Streams &streams)
{
    internal::ArgumentParser parser(
        {"docs",
         "Prints the reference pages made from tables.",
         "PAGE",
         {"basilhall docs settings > docs/SETTINGS.md", "basilhall docs errors"},
         "PAGE is `settings`, `manifest`, `errors` or `metrics`."});
    std::vector<std::string> names{"settings", "manifest", "errors", "metrics"};
    TCLAP::ValuesConstraint<std::string> constraint(names);
    TCLAP::UnlabeledValueArg<std::string> page("page", "Page to print.", true, "", &constraint,
                                               parser.line());
    if (const auto code = parser.parse(arguments, streams)) {
        return *code;
    }
    if (page.getValue() == "settings") {
        streams.out << settings::referencePage();
    } else if (page.getValue() == "manifest") {
        streams.out << manifest::referencePage();
    } else if (page.getValue() == "errors") {
        streams.out << errorPage();
    } else {
        streams.out << metrics::referencePage();
    }
    return ExitCode::Ok;
}

} // namespace basilhall::command

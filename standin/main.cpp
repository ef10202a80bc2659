// Runs one stand-in: `basilhall-standin engine --listen 127.0.0.1:0 --instant`.
#include "basilhall/base/address.h"
#include "standin/engine/engine_application.h"
#include "standin/hosts/hosts_application.h"
#include "standin/objects/objects_application.h"
#include "standin/server.h"
#include "standin/service/service_application.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <memory>
#include <tclap/CmdLine.h>

namespace
{

using standin::Application;

constexpr const char *kUsage = "usage: basilhall-standin engine|service|objects|hosts [--help]\n";

std::unique_ptr<Application> parseEngine(TCLAP::CmdLine &line, int argc, char **argv)
{
    standin::EngineOptions options;
    TCLAP::ValueArg<std::string> model("", "model", "Name of the model", false, options.model,
                                       "name", line);
    TCLAP::ValueArg<double> prefill("", "prefill-tokens-per-second", "Speed of prompts", false,
                                    options.prefillTokensPerSecond, "number", line);
    TCLAP::ValueArg<int> interval("", "token-interval-ms", "Time between two tokens", false,
                                  static_cast<int>(options.tokenInterval.count()), "ms", line);
    TCLAP::ValueArg<std::uint64_t> batch("", "max-batch", "Calls that run at once", false,
                                         options.maxBatch, "number", line);
    TCLAP::ValueArg<std::uint64_t> cache("", "cache-tokens", "Size of the prefix cache", false,
                                         options.cacheTokens, "tokens", line);
    TCLAP::ValueArg<std::uint64_t> answer("", "answer-tokens", "Length of an answer", false,
                                          options.answerTokens, "tokens", line);
    TCLAP::ValueArg<int> loadLag("", "load-lag-ms", "Age of load reports", false, 0, "ms", line);
    TCLAP::ValueArg<int> eventLag("", "cache-event-lag-ms", "Age of cache events", false, 0, "ms",
                                  line);
    TCLAP::ValueArg<double> loss("", "cache-event-loss-share", "Share of cache events lost", false,
                                 0, "share", line);
    TCLAP::SwitchArg instant("", "instant", "Answer without delay", line);
    TCLAP::SwitchArg fencing("", "fencing", "Refuse stale fencing tokens", line);
    line.parse(argc, argv);
    options.model = model.getValue();
    options.prefillTokensPerSecond = prefill.getValue();
    options.tokenInterval = std::chrono::milliseconds(interval.getValue());
    options.maxBatch = batch.getValue();
    options.cacheTokens = cache.getValue();
    options.answerTokens = answer.getValue();
    options.instant = instant.getValue();
    options.fencing = fencing.getValue();
    options.loadLag = std::chrono::milliseconds(loadLag.getValue());
    options.cacheEventLag = std::chrono::milliseconds(eventLag.getValue());
    options.cacheEventLossShare = loss.getValue();
    return std::make_unique<standin::EngineApplication>(options);
}

std::unique_ptr<Application> parseService(TCLAP::CmdLine &line, int argc, char **argv)
{
    TCLAP::SwitchArg honours("", "honour-keys", "Answer a repeated Idempotency-Key once", line);
    TCLAP::ValueArg<int> work("", "work-ms", "Time that a call takes", false, 0, "ms", line);
    line.parse(argc, argv);
    return std::make_unique<standin::ServiceApplication>(honours.getValue(), work.getValue());
}

std::unique_ptr<Application> parseObjects(TCLAP::CmdLine &line, int argc, char **argv)
{
    standin::ObjectsLimits limits;
    TCLAP::ValueArg<double> writes("", "writes-per-second", "0 for no limit", false, 0, "number",
                                   line);
    TCLAP::ValueArg<double> reads("", "reads-per-second", "0 for no limit", false, 0, "number",
                                  line);
    TCLAP::ValueArg<std::size_t> changes("", "max-changes", "Changes kept for watches", false,
                                         limits.maxChanges, "number", line);
    line.parse(argc, argv);
    limits.writesPerSecond = writes.getValue();
    limits.readsPerSecond = reads.getValue();
    limits.maxChanges = changes.getValue();
    return std::make_unique<standin::ObjectsApplication>(limits);
}

std::unique_ptr<Application> parseHosts(TCLAP::CmdLine &line, int argc, char **argv)
{
    TCLAP::ValueArg<int> lag("", "lag-ms", "Age of the list", false, 0, "ms", line);
    line.parse(argc, argv);
    return std::make_unique<standin::HostsApplication>(lag.getValue());
}

std::unique_ptr<Application> parse(const std::string &role, TCLAP::CmdLine &line, int argc,
                                   char **argv)
{
    if (role == "engine") {
        return parseEngine(line, argc, argv);
    }
    if (role == "service") {
        return parseService(line, argc, argv);
    }
    if (role == "objects") {
        return parseObjects(line, argc, argv);
    }
    if (role == "hosts") {
        return parseHosts(line, argc, argv);
    }
    return nullptr;
}

int serve(Application &application, const std::string &listen)
{
    const auto address = basilhall::parseAddress(listen);
    if (!address) {
        std::cerr << address.error().message() << '\n';
        return 2;
    }
    boost::asio::io_context context(1);
    standin::Server server(context.get_executor(), address.value().ip, address.value().port,
                           application);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    std::cout << "listening " << address.value().ip << ':' << server.port() << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        std::cerr << kUsage;
        return 2;
    }
    try {
        TCLAP::CmdLine line("Stand-in of the platform for basilhall's tests", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> listen("", "listen", "Where to listen; port 0 takes any",
                                            false, "127.0.0.1:0", "ip:port", line);
        const auto application = parse(argv[1], line, argc - 1, argv + 1);
        if (!application) {
            std::cerr << "stand-in \"" << argv[1] << "\" does not exist\n" << kUsage;
            return 2;
        }
        return serve(*application, listen.getValue());
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}

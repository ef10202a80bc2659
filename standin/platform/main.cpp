// Runs the stand-in of the users' platform until a signal ends it:
// `basilhall-fleet-standin --listen 127.0.0.1:0` prints `listening IP:PORT store IP:PORT`.
#include "basilhall/base/address.h"
#include "standin/platform/fleet_control.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <tclap/CmdLine.h>

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Stand-in of the users' platform for basilhall's tests", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> listen("", "listen",
                                            "Address of the control; port 0 takes any", false,
                                            "127.0.0.1:0", "ip:port", line);
        line.parse(argc, argv);
        const auto address = basilhall::parseAddress(listen.getValue());
        if (!address) {
            std::cerr << address.error().message() << '\n';
            return 2;
        }
        boost::asio::io_context context(1);
        const standin::FleetControl fleet(context.get_executor(), address.value());
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
        std::cout << "listening " << basilhall::toString(fleet.address()) << " store "
                  << basilhall::toString(fleet.storeAddress()) << std::endl;
        context.run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}

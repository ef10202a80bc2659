// HTTP/1.1 server that every stand-in runs behind: it records the traffic and shows the faults.
//
//     asio::io_context context;
//     ObjectsApi objects(limits);
//     Server server(context.get_executor(), "127.0.0.1", 0, objects);
//     std::cout << server.port();
//     context.run();
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace standin
{

class Application;

// Use from its executor, which one thread runs. The application must outlive it.
class Server
{
public:
    // Port 0 takes a free one. Throws boost::system::system_error if it cannot listen.
    Server(const boost::asio::any_io_executor &executor, const std::string &ip, std::uint16_t port,
           Application &application);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    std::uint16_t port() const;
    // Closes the listener and every connection.
    void close();

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace standin

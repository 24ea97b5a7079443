#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <iostream>

#include "common/error.h"
#include "net/http_server.h"

// A single-threaded server that echoes each body: the lower bound that the request path is compared with.
int main(int argc, char** argv) {
  using amaranthlane::net::HttpRequest;
  using amaranthlane::net::HttpResponse;
  using amaranthlane::net::HttpServer;
  if (argc != 2) {
    std::cerr << "usage: floor_server IP:PORT\n";
    return 2;
  }
  try {
    boost::asio::io_context loop(1);
    HttpServer server(loop, amaranthlane::net::ParseAddress(argv[1]), {},
                      [](HttpRequest request, const HttpServer::ResponseCallback& respond) {
                        respond(HttpResponse{200, {}, "text/plain", std::move(request.body)});
                      });
    server.Start();
    loop.run();
  } catch (const amaranthlane::Error& failure) {
    std::cerr << failure.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}

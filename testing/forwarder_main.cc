// A bare forwarder on the same libraries: passes every request to one target,
// decides nothing. The floor that the daemon's cost is measured against.

#include "http/client.h"
#include "http/server.h"
#include "testing/program.h"

int main(int argc, char** argv) {
  using namespace quartzhoist;
  cxxopts::Options options("quartzhoist-forwarder", "A bare forwarder");
  options.add_options()("to", "The target, ip:port",
                        cxxopts::value<std::string>())(
      "limit-seconds", "Ends after this",
      cxxopts::value<int>()->default_value("600"));
  return testing::RunProgram(
      std::move(options), argc, argv, [](const cxxopts::ParseResult& given) {
        const std::string target = given["to"].as<std::string>();
        base::Loop loop;
        http::Client client(loop);
        http::Server server(loop, {}, [&](const http::ExchangePtr& exchange) {
          http::ClientRequest request;
          request.method = exchange->request().method;
          request.url = "http://" + target + exchange->request().path;
          for (const http::Header& header : exchange->request().headers) {
            if (!http::IsHopByHop(header.name) &&
                !http::SameName(header.name, "Host") &&
                !http::SameName(header.name, "Content-Length"))
              request.headers.push_back(header);
          }
          request.body = exchange->request().body;
          client.Send(std::move(request),
                      [exchange](http::ClientResult result) {
                        exchange->Reply(std::move(result.response));
                      });
        });
        testing::AnnouncePort(server.port());
        testing::RunUntilStopped(loop, given["limit-seconds"].as<int>());
        return 0;
      });
}

// Sends a bundle to one entry in place of its agent, for benches of the request
// path, which need no agent otherwise. Usage: push-bundle RPC_ADDRESS FILE

#include "zinnia.capnp.h"

#include <capnp/ez-rpc.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

namespace wire = zinniagauge::wire;

int main(int argc, char **argv) {
  if (argc != 3) {
    std::fputs("usage: push-bundle RPC_ADDRESS FILE\n", stderr);
    return 2;
  }
  std::ifstream file(argv[2]);
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  capnp::EzRpcClient client(argv[1]);
  auto &scope = client.getWaitScope();
  auto board = client.getMain<wire::Entry>().boardRequest().send().getBoard();
  auto req = board.updateRequest();
  auto bundle = req.initUpdate().initBundle();
  bundle.setVersion(1);
  bundle.setText(text);
  const auto report = req.send().wait(scope).getReport();
  std::printf("active bundle: version %llu\n",
              static_cast<unsigned long long>(report.getBundleVersion()));
  return report.getBundleVersion() == 1 ? 0 : 1;
}

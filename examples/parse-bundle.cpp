// Parses a bundle file and prints a summary of it, or every fault in it.
// Usage: parse-bundle FILE

#include "zinniagauge/adapt/bundle_json.h"

#include <cstdio>
#include <fstream>
#include <iterator>

using namespace zinniagauge;

int main(int argc, char **argv) {
  if (argc != 2) {
    std::fputs("usage: parse-bundle FILE\n", stderr);
    return 2;
  }
  std::ifstream in(argv[1]);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  const ParsedBundle parsed = readBundle(1, text);
  for (const BundleFault &fault : parsed.Faults)
    std::fprintf(stderr, "%s: %s\n",
                 fault.Path.empty() ? argv[1] : fault.Path.c_str(),
                 fault.Message.c_str());
  if (!parsed.Faults.empty())
    return 1;
  const Bundle &b = parsed.Value;
  std::printf("%zu tiers, %zu workspaces, %zu pools, %zu routes, %zu "
              "endpoints, %zu moves\n",
              b.Tiers.size(), b.Workspaces.size(), b.Pools.size(),
              b.Routes.size(), b.Endpoints.size(), b.Moves.size());
  const EndpointSpec *first = findEndpoint(b, b.Endpoints.at(0).Id);
  std::printf("first endpoint: %s at %s:%u, version %s\n", first->Name.c_str(),
              first->Host.c_str(), static_cast<unsigned>(first->Port),
              first->VersionLabel.c_str());
  return 0;
}

// All preprocessor settings: the version and build switches.
#ifndef ZINNIAGAUGE_CONFIG_H
#define ZINNIAGAUGE_CONFIG_H

#define ZINNIAGAUGE_VERSION "0.1.0"

// Tests define this to 1, so that a violated invariant ends the process at
// once. Programs leave it at 0: they count the violation and continue to serve.
#ifndef ZINNIAGAUGE_FATAL_INVARIANTS
#define ZINNIAGAUGE_FATAL_INVARIANTS 0
#endif

#endif // ZINNIAGAUGE_CONFIG_H

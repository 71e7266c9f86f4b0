// Package sandbarrow is the root of a serving layer for a very large number of LoRA adapters
// on a few shared base models. It holds the shared types and the interfaces of the
// coordination components. The implementations are in the packages below. Each package has
// one purpose and can be embedded on its own.
//
// The packages of the gateway path, which runs on the users' platform:
//
//   - gateway: the process between callers and upstreams
//   - controller: the process next to each engine, which owns its adapter slots
//   - enginelink: the messages between the two
//   - estate, directory, prefixwatch: the operators' routes, versions and evacuations, the
//     list of upstreams, and the watch of the platform's store that updates both
//   - crash/share: how gateways share the records of requests that crash upstreams
//   - distance: the round-trip times to other failure domains
//   - route, forward, recall: routes, connections to upstreams, adapter loads from the
//     engines' own memory
//   - platform: the only package that contains the platform's names
//   - explain: the history of one request, reconstructed from logs
//
// The packages of the entry path, the product's own interface:
//
//   - entry, agent: the process that callers connect to, and the one next to each upstream
//   - wire: the messages between the two
//   - config, policy, limit: the operators' configuration and what it permits
//   - placement, schedule, queueorder, loadbudget: the choice of the upstream, and
//     scheduling at it
//   - claim, lease: at-most-once requests, fencing tokens
//   - store, boxlist, upstream: clients of external systems
//   - burn: burn rate of service-level objectives
//
// Both paths use evict, retry, settings, jsonc, logging and httpserve.
//
// docs/ARCHITECTURE.md describes the programs. docs/DECISIONS.md lists, for each decision that
// the system makes, the function that makes it.
package sandbarrow

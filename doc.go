// Package sandbarrow is the root of a serving layer for very many LoRA adapters on a
// few shared base models. It holds the named types and the interfaces of the
// coordination parts; their implementations live in the packages below, one job each,
// and can be embedded on their own.
//
// The gateway path, which runs on the users' platform:
//
//   - gateway: the process between callers and upstreams
//   - controller: the process beside each engine, which owns its adapter slots
//   - enginelink: the messages between the two
//   - estate, directory, prefixwatch: the operators' state, the list of upstreams, and
//     the watch of the platform's store that brings both
//   - route, forward, recall: routes, connections to upstreams, engines' own memory
//   - platform: the only package that knows the platform's names
//   - explain: the story of one request, from logs
//
// The entry path, the product's own interface:
//
//   - entry, agent: the processes before callers and beside each upstream
//   - wire: the messages between the two
//   - config, policy, limit: the operators' configuration and what it permits
//   - placement, schedule, queueorder, loadbudget: which upstream, and what runs there
//   - claim, lease: once-only requests, fencing tokens
//   - store, boxlist, upstream: clients of the outside systems
//   - burn: service-level burn
//
// Both: evict, retry, settings, jsonc, logging, httpserve.
//
// docs/ARCHITECTURE.md draws the programs, docs/DECISIONS.md leads from a question to
// the function that decides.
package sandbarrow

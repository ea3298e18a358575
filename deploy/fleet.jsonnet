// An example of a front's part in a fleet: docs/operating-limits.md tells how it is operated.
//
//   python -m cometseam check deploy/fleet.jsonnet --against deploy/sample.json
//   python -m cometseam serve --operator deploy/fleet.jsonnet
//
// For installations where fronts may talk to an etcd cluster; it takes the libraries of requirements-fleet.txt.
local task = { ttl: '3s', margin: '500ms', renew: '500ms' };

{
  version: 1,

  fleet: {
    service: '127.0.0.1:2379',
    round_trip: '100ms',  // the longest that is expected; a call is given up after twice that
    drift: 0.01,  // by how much two clocks may run apart
    refresh: '1s',  // between two reads beside a watch

    // Each is held by one front at a time.
    tasks: { probe: task, list: task, limits: task },

    probing: { interval: '500ms', within: '300ms', fails: 3, passes: 2, lasts: '6s' },
    log: { bound: '4s' },  // the holder of `list` reads the discovery event log for all
    // The holder of `limits` shares out what cold caches bear, and how many relays all fronts have out at one.
    limits: { refresh: '500ms', lasts: '3s', relays: { caches: 400, parents: 800 } },
  },
}

// An example of the operator's file: docs/operator-file.md has every key with its default, unit and range.
//
//   python -m cometseam check deploy/operator.jsonnet --against deploy/sample.json
//   python -m cometseam serve --operator deploy/operator.jsonnet
//
// The file is checked whole. What it leaves out the front decides as it does without a file.
local plans = import 'lib/plans.libsonnet';

{
  version: 1,

  // Sets of addresses, by union and difference. A budget here is shared by all clients of the set.
  networks: {
    stations: { include: ['10.1.0.0/16', '2001:db8:1::/48'], exclude: ['10.1.255.0/24'] },
    visitors: { include: ['10.2.0.0/16'], budget: plans.budget(share=0.1, floor=2) },
  },

  // Over all pulls that have a plan: an outage is not multiplied.
  front: { budget: plans.budget(share=0.3, floor=20) },

  // The largest pulls that there are, by workload: plans are proved up to these, and what is larger gets none.
  largest: { maps: '300KB', grids: '2MB' },

  // Inherited by every workload and route, leaf by leaf; null takes a value back.
  default: { retry_on: ['time-out', 'reset', 'connect-failed', 'full', 'given-up', 'miss'] },

  workloads: {
    maps: plans.hasty() + plans.second('40ms', 1.05),
    grids: plans.patient(),
  },

  // The first route that matches is taken; what no route matches goes by its workload.
  routes: [
    {
      name: 'bulletins',
      match: { workload: 'maps', objects: { prefix: '7f' }, networks: 'stations' },
      plan: { relays: 3, until: 'cut-off', later: '250ms' },
    },
    {
      name: 'large grids',
      match: { workload: 'grids', size: { from: '1MB' } },
      plan: { relays: 2, budget: plans.budget(share=0.05, floor=1) },
    },
  ],
}

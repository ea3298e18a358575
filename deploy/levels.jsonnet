// Levels of reduced service for a branch whose link is its narrow place: docs/levels.md explains each key, and why these.
//
//   python -m cometseam levels check deploy/levels.jsonnet --against deploy/sample.json
local past(signal, bound, lasts) = { signal: signal, above: bound, 'for': lasts };
local under(signal, bound, lasts) = { signal: signal, below: bound, 'for': lasts };

{
  version: 1,

  routes: [{ name: 'large grids', match: { workload: 'grids', size: { from: '4MB' } } }],

  levels: {
    steps: [
      {
        // Up to twice its room the front's own shedding does better than any level; past that the large go first.
        name: 'sparing',
        enter: past('link', 2.0, '3s'),
        leave: under('link', 1.0, '5s'),
        measures: { shed: [{ workload: 'grids', share: 0.1 }], later: '500ms' },
      },
      {
        name: 'no large grids',
        enter: past('link', 3.0, '5s'),
        leave: under('link', 1.2, '5s'),
        stay: '15s',
        ramp: '20s',
        measures: {
          shed: [{ workload: 'grids', share: 0.1 }, { route: 'large grids', share: 1 }], later: '1s',
        },
      },
    ],
  },
}

// Pieces for operators' files. Import what you need: local plans = import 'lib/plans.libsonnet';
{
  // A time-out that grows with the pull: `base`, and `part` times its own sending time.
  span(base, part=0):: { base: base, part: part },

  // Give up early, ask again quickly: for what ages fast.
  hasty(relays=2):: {
    relays: relays,
    time_outs: {
      look: { base: '60ms', part: 1.2 },
      fill: { base: '100ms', part: 1.2 },
      direct: { base: '100ms', part: 1.2 },
    },
  },

  // Wait long for a large pull, and between relays: for what is dear to fill.
  patient(relays=2):: {
    relays: relays,
    time_outs: {
      look: { base: '300ms', part: 1.5 },
      fill: { base: '600ms', part: 2 },
      direct: { base: '600ms', part: 2 },
    },
    wait: { base: '50ms', growth: 2, most: '400ms', jitter: 0.25 },
    until: 'cut-off',
  },

  // A second copy elsewhere once the first has taken so long. The first is given up before.
  second(base, part=1):: { second: { after: { base: base, part: part } } },

  // Further relays as a share of first ones.
  budget(share=0.2, floor=5, window='10s'):: { share: share, floor: floor, window: window },
}

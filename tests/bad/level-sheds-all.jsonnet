{
  version: 1,
  levels: { steps: [
    { name: 'a', enter: { signal: 'link', above: 1.1 }, leave: { signal: 'link', below: 0.8 }, measures: { shed: [{ workload: 'maps', share: 1 }, { workload: 'grids', share: 1 }] } },
  ] },
}

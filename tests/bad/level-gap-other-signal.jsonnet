{
  version: 1,
  levels: { steps: [
    { name: 'a', enter: { signal: 'link', above: 1.1 }, leave: { signal: 'lag', below: 20 }, measures: { shed: [{ workload: 'maps', share: 0.3 }] } },
  ] },
}

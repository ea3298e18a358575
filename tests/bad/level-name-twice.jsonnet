{
  version: 1,
  levels: { steps: [
    { name: 'a', enter: { signal: 'link', above: 1.1 }, leave: { signal: 'link', below: 0.8 }, measures: { shed: [{ workload: 'maps', share: 0.3 }] } },
    { name: 'a', enter: { signal: 'link', above: 2 }, leave: { signal: 'link', below: 1 }, measures: { shed: [{ workload: 'maps', share: 0.3 }] } },
  ] },
}

{
  version: 1,
  levels: { steps: [
    { name: 'a', enter: { signal: 'link', above: 1.1 }, leave: { signal: 'link', below: 0 }, measures: { shed: [{ workload: 'maps', share: 0.3 }] } },
  ] },
}

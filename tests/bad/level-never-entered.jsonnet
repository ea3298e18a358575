{
  version: 1,
  levels: { steps: [
    { name: 'a', enter: { signal: 'shed:maps', above: 1 }, leave: { signal: 'shed:maps', below: 0.2 }, measures: { shed: [{ workload: 'maps', share: 0.3 }] } },
  ] },
}

{ version: 1, workloads: { maps: { time_outs: { look: '2s' } } } }

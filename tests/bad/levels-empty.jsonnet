{ version: 1, levels: { steps: [] } }

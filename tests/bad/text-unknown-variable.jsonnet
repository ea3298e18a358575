{ version: vresion }

{ version: error 'not ready' }

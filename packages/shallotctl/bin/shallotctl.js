#!/usr/bin/env node
await import('../dist/command-line.js');

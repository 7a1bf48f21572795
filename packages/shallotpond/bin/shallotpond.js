#!/usr/bin/env node
import {runProgram} from '../dist/main.js';

await runProgram();

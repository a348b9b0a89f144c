#!/usr/bin/env node
/** The program `martenworks`. */
import { run } from './main.js';

process.exitCode = await run(process.argv.slice(2));
if (process.exitCode !== undefined) process.exit();

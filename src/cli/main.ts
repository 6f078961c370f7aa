#!/usr/bin/env node
/**
 * Entry point of the command-line tool.
 *
 * @module
 */
import process from "node:process";
import { run } from "./program.ts";
import { systemHost } from "./system_host.ts";

/**
 * Interval of a timer that keeps the process alive until the command has
 * finished: the timers of the system clock don't.
 */
const KEEP_ALIVE_INTERVAL_MS = 1_000;

const keepAlive = setInterval(() => {}, KEEP_ALIVE_INTERVAL_MS);
const host = systemHost();
process.exitCode = await run(process.argv.slice(2), host);
await host.close();
clearInterval(keepAlive);

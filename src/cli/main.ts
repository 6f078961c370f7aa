#!/usr/bin/env node
/**
 * Entry of the command-line tool.
 *
 * @module
 */
import process from "node:process";
import { run } from "./program.ts";
import { systemHost } from "./system_host.ts";

/** Keeps the process alive while only timers that do not are pending. */
const KEEP_ALIVE_MS = 1_000;

const keepAlive = setInterval(() => {}, KEEP_ALIVE_MS);
const host = systemHost();
process.exitCode = await run(process.argv.slice(2), host);
await host.close();
clearInterval(keepAlive);

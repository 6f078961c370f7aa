#!/usr/bin/env node
/**
 * Command line of the daemon `zinniapointd`.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import process from "node:process";
import { Command } from "commander";
import { readSettings } from "../config.ts";
import { Daemon } from "./daemon.ts";

const EXIT_USAGE = 2;
const EXIT_FAILED = 1;

const command = new Command("zinniapointd")
  .description("one instance of the zinniapoint cluster scheduler")
  .argument("<settings>", "INI file with the settings of this process")
  .addHelpText("after", "\nExample:\n  zinniapointd /etc/zinniapoint.ini\n")
  .parse();

const [file = ""] = command.args;
const settings = readSettings(read(file), { file });
if (settings.isErr()) {
  for (const { line, object, message } of settings.error) {
    process.stderr.write(`${file}:${line}: ${object}: ${message}\n`);
  }
  process.exit(EXIT_USAGE);
}

const daemon = new Daemon(settings.value);
let stopping = false;
for (const signal of ["SIGTERM", "SIGINT"] as const) {
  process.on(signal, () => {
    if (stopping) return;
    stopping = true;
    daemon.stop().then(() => process.exit(0), fail);
  });
}
daemon.start().catch(fail);

function read(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch {
    process.stderr.write(`${path}: cannot be read\n`);
    process.exit(EXIT_USAGE);
  }
}

function fail(error: unknown): never {
  const message = error instanceof Error ? error.message : String(error);
  process.stderr.write(`event=failed message=${JSON.stringify(message)}\n`);
  process.exit(EXIT_FAILED);
}

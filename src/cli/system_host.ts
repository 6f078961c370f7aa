/**
 * The surroundings of the tool on a machine.
 *
 * @module
 */
import { createReadStream, existsSync } from "node:fs";
import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { createInterface } from "node:readline";
import { ResultAsync } from "neverthrow";
import { EtcdStore } from "../adapters/etcd_store.ts";
import { StoreEndpoints } from "../adapters/store_endpoints.ts";
import { systemClock } from "../clock.ts";
import type { ToolFailure } from "./failures.ts";
import { HttpInstances } from "./http_instances.ts";
import type { Host } from "./tool.ts";

/** Files may hold secrets. */
const FILE_MODE = 0o600;

const STANDARD_INPUT = "/dev/stdin";

/** A host that can be closed. */
export interface SystemHost extends Host {
  /** Closes the connections that commands opened. */
  close(): Promise<void>;
}

/** Opens the surroundings. */
export function systemHost(): SystemHost {
  const opened: { close(): Promise<void> }[] = [];
  function keep<T extends { close(): Promise<void> }>(resource: T): T {
    opened.push(resource);
    return resource;
  }
  return {
    clock: systemClock,
    environment: process.env,
    readFile: (path) => attempt(readFile(path === "-" ? STANDARD_INPUT : path)),
    readLines: (path, take) =>
      attempt(readLines(path === "-" ? STANDARD_INPUT : path, take)),
    writeFile: (path, text) =>
      attempt(writeFile(path, text, { mode: FILE_MODE })),
    exists: existsSync,
    openStore: ({ platform, timing }) =>
      new StoreEndpoints(
        platform.store.map((address) =>
          keep(
            new EtcdStore({
              address,
              clock: systemClock,
              connectTimeoutMs: timing.storeTimeoutMs,
              timeoutMs: timing.storeTimeoutMs,
            }),
          )
        ),
      ),
    openInstances: ({ operator }) =>
      keep(new HttpInstances(operator.instances)),
    out: (text) => process.stdout.write(text + "\n"),
    outBytes: (bytes) => process.stdout.write(bytes),
    err: (text) => process.stderr.write(text + "\n"),
    async close() {
      await Promise.all(opened.map((resource) => resource.close()));
    },
  };
}

async function readLines(
  path: string,
  take: (line: string) => void,
): Promise<void> {
  const input = createReadStream(path, "utf8");
  for await (const line of createInterface({ input })) take(line);
}

function attempt<T>(promise: Promise<T>): ResultAsync<T, ToolFailure> {
  return ResultAsync.fromPromise(promise, (error) => ({
    type: "fileFailed",
    message: error instanceof Error ? error.message : "the file failed",
  }));
}

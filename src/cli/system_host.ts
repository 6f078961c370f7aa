/**
 * The host of a real process: file system, network, environment and output.
 *
 * @module
 */
import { createReadStream, existsSync } from "node:fs";
import { readFile, writeFile } from "node:fs/promises";
import process from "node:process";
import { createInterface } from "node:readline";
import { ResultAsync } from "neverthrow";
import { EtcdStore } from "../adapters/etcd_store.ts";
import { FailoverStore } from "../adapters/failover_store.ts";
import { systemClock } from "../clock.ts";
import type { ToolFailure } from "./failures.ts";
import { HttpInstanceClient } from "./http_instance_client.ts";
import type { Host } from "./tool.ts";

/** Mode of newly created files: they may contain secrets, so only the owner may read them. */
const FILE_MODE = 0o600;

const STANDARD_INPUT = "/dev/stdin";

/** A host that can be closed. */
export interface SystemHost extends Host {
  /** Closes the connections that commands opened. */
  close(): Promise<void>;
}

/** Creates the host of this process. */
export function systemHost(): SystemHost {
  const opened: { close(): Promise<void> }[] = [];
  function closeLater<T extends { close(): Promise<void> }>(resource: T): T {
    opened.push(resource);
    return resource;
  }
  return {
    clock: systemClock,
    environment: process.env,
    readFile: (path) =>
      toFileResult(readFile(path === "-" ? STANDARD_INPUT : path)),
    readLines: (path, onLine) =>
      toFileResult(readLines(path === "-" ? STANDARD_INPUT : path, onLine)),
    writeFile: (path, text) =>
      toFileResult(writeFile(path, text, { mode: FILE_MODE })),
    exists: existsSync,
    openStore: ({ platform, timing }) =>
      new FailoverStore(
        platform.store.map((address) =>
          closeLater(
            new EtcdStore({
              address,
              clock: systemClock,
              connectTimeoutMs: timing.storeTimeoutMs,
              timeoutMs: timing.storeTimeoutMs,
            }),
          )
        ),
      ),
    openInstanceClient: ({ operator }) =>
      closeLater(new HttpInstanceClient(operator.instances)),
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
  onLine: (line: string) => void,
): Promise<void> {
  const input = createReadStream(path, "utf8");
  for await (const line of createInterface({ input })) onLine(line);
}

function toFileResult<T>(promise: Promise<T>): ResultAsync<T, ToolFailure> {
  return ResultAsync.fromPromise(promise, (error) => ({
    type: "fileFailed",
    message: error instanceof Error
      ? error.message
      : "the file cannot be read or written",
  }));
}

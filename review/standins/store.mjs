/**
 * A stand-in for the platform's metadata store (PROTOCOL.md, "The platform's
 * metadata store"). It answers after 4 ms and loses nothing.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
const MAX_TXN_ENTRIES = 32;
const MAX_VALUE_BYTES = 1_048_576;
const MAX_WAIT_MS = 30_000;

/** Reads the body of a request as JSON; `{}` if it is empty. */
export async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks));
}

/** Sends a response with a JSON body. */
export function sendJson(response, status, body) {
  const text = body === undefined ? "" : JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

export class Store {
  #items = new Map();
  #events = [];
  #revision = 1;
  #watchers = new Set();
  #sockets = new Set();
  #server = createServer((request, response) =>
    this.#handle(request, response).catch(() => response.destroy())
  );

  constructor() {
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  async listen() {
    await new Promise((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  /** Writes a value as the operator or a worker does. */
  put(key, value) {
    this.#revision++;
    this.#set(key, Buffer.from(JSON.stringify(value)).toString("base64"));
    this.#wake();
  }

  /** Removes a key as the platform does. */
  remove(key) {
    this.#revision++;
    this.#delete(key);
    this.#wake();
  }

  /** The value of a key, decoded; `undefined` if it is not there. */
  read(key) {
    const item = this.#items.get(key);
    if (item === undefined) return undefined;
    return JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
  }

  async #handle(request, response) {
    const url = new URL(request.url, "http://store");
    const body = await readJson(request);
    await sleep(ANSWER_MS);
    switch (`${request.method} ${url.pathname}`) {
      case "GET /api/kv-key": {
        const item = this.#items.get(url.searchParams.get("key"));
        if (item === undefined) return sendJson(response, 404);
        return sendJson(response, 200, {
          ...item,
          "current-rev": this.#revision,
        });
      }
      case "GET /api/kv-range":
        return sendJson(response, 200, this.#range(url.searchParams));
      case "GET /api/kv-watch":
        return await this.#watch(url.searchParams, response);
      case "POST /api/kv-txn":
        return this.#transact(body, response);
      default:
        return sendJson(response, 404);
    }
  }

  #range(query) {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const keys = [...this.#items.keys()]
      .filter((key) => key.startsWith(prefix) && key > after).sort();
    return {
      items: keys.slice(0, PAGE_ITEMS).map((key) => this.#items.get(key)),
      truncated: keys.length > PAGE_ITEMS,
      "current-rev": this.#revision,
    };
  }

  async #watch(query, response) {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.get("wait-ms") ?? 0));
    const deadline = Date.now() + waitMs;
    for (;;) {
      const events = this.#events.filter((event) =>
        event.revision > after && event.key.startsWith(prefix)
      );
      const leftMs = deadline - Date.now();
      if (events.length > 0 || leftMs <= 0) {
        return sendJson(response, 200, {
          events,
          "current-rev": this.#revision,
        });
      }
      await new Promise((resolve) => {
        const timer = setTimeout(done, leftMs);
        const watchers = this.#watchers;
        watchers.add(done);
        function done() {
          clearTimeout(timer);
          watchers.delete(done);
          resolve();
        }
      });
    }
  }

  #transact(body, response) {
    const conditions = body["if-rev"] ?? [];
    const puts = body["set-keys"] ?? [];
    const removals = body.remove ?? [];
    const keys = [...puts.map(({ key }) => key), ...removals];
    if (keys.some((key) => /^(op|servers)\//.test(key))) {
      return sendJson(response, 403);
    }
    const entries = conditions.length + puts.length + removals.length;
    const isTooLarge = puts.some(({ value }) =>
      Buffer.byteLength(value, "base64") > MAX_VALUE_BYTES
    );
    if (entries > MAX_TXN_ENTRIES || isTooLarge) {
      return sendJson(response, 400);
    }
    const holds = conditions.every(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) === revision
    );
    if (!holds) {
      const items = conditions.flatMap(({ key }) => this.#items.get(key) ?? []);
      return sendJson(response, 412, { items });
    }
    this.#revision++;
    for (const { key, value } of puts) this.#set(key, value);
    for (const key of removals) this.#delete(key);
    this.#wake();
    return sendJson(response, 200, { revision: this.#revision });
  }

  #set(key, value) {
    const item = {
      key,
      value,
      revision: this.#revision,
      "create-revision": this.#items.get(key)?.["create-revision"] ??
        this.#revision,
      lease: 0,
    };
    this.#items.set(key, item);
    this.#events.push(item);
  }

  #delete(key) {
    if (!this.#items.delete(key)) return;
    this.#events.push({ key, revision: this.#revision, removed: true });
  }

  #wake() {
    for (const wake of [...this.#watchers]) wake();
  }
}

/**
 * Newline-delimited JSON over TCP, the message format between instances.
 *
 * @module
 */
import type { Socket } from "node:net";
import process from "node:process";

/** Longest line that is accepted after the handshake. */
export const MAX_LINE_CHARS = 24 * 1024 * 1024;

/** Longest line that is accepted before the sender has authenticated. */
export const MAX_HANDSHAKE_LINE_CHARS = 4 * 1024;

/** Receives the lines of a socket. */
export interface LineHandler {
  readonly onLine: (line: string) => void;
  /** Longest line accepted at present; a longer line closes the socket. */
  readonly maxChars: () => number;
}

/** Splits the data of a socket into lines. */
export function readLines(
  socket: Socket,
  { onLine, maxChars }: LineHandler,
): void {
  let pieces: string[] = [];
  let length = 0;
  socket.setEncoding("utf8");
  socket.on("data", (data) => {
    const parts = String(data).split("\n");
    for (const [index, part] of parts.entries()) {
      pieces.push(part);
      length += part.length;
      if (length > maxChars()) {
        socket.destroy();
        return;
      }
      if (index === parts.length - 1) break;
      const line = pieces.join("");
      pieces = [];
      length = 0;
      onLine(line);
      if (socket.destroyed) return;
    }
  });
}

/**
 * Writes a message as one line. Messages written in the same turn of the event
 * loop are sent with one system call.
 */
export function writeLine(socket: Socket, message: unknown): void {
  if (socket.writableCorked === 0) {
    socket.cork();
    process.nextTick(() => socket.uncork());
  }
  socket.write(JSON.stringify(message) + "\n");
}

/** Parses a line. Returns `undefined` if it is not a JSON object. */
export function parseLine(line: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(line);
    const isObject = typeof value === "object" && value !== null;
    return isObject ? value as Record<string, unknown> : undefined;
  } catch {
    return undefined;
  }
}

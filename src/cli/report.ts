/**
 * Formats the results of commands.
 *
 * @module
 */

import type { Resources } from "../types.ts";
import { ResourcesCodec } from "../wire/codecs.ts";

/** The result of a command. */
export interface Report {
  /** Printed with `--json`. */
  readonly json: unknown;
  /** Printed without `--json`. */
  readonly text: string;
  /** Printed unchanged instead of the text. */
  readonly bytes?: Uint8Array;
}

/** Space between the columns of a table. */
const COLUMN_SEPARATOR = "  ";

const MILLIS_PER_CORE = 1000;
const MIB_PER_GIB = 1024;

/** Reports a value: an object as one line per field, a list of objects as a table. */
export function reportValue(json: unknown): Report {
  return { json, text: formatValue(json) };
}

/** Formats rows as a table with a column for every key of any row. */
export function formatTable(
  rows: readonly Readonly<Record<string, unknown>>[],
): string {
  if (rows.length === 0) return "none";
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const lines = [
    columns.map((column) => column.toUpperCase()),
    ...rows.map((row) => columns.map((column) => formatCell(row[column]))),
  ];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => line[index]!.length))
  );
  return lines
    .map((line) =>
      line.map((cell, index) => cell.padEnd(widths[index]!)).join(
        COLUMN_SEPARATOR,
      ).trimEnd()
    )
    .join("\n");
}

function formatValue(value: unknown): string {
  if (isRows(value)) return formatTable(value);
  if (!isRecord(value)) return formatCell(value);
  return Object.entries(value).map(([name, part]) => formatPart(name, part))
    .join("\n");
}

function formatPart(name: string, part: unknown): string {
  if (isRows(part) && part.length > 0) {
    return `${name}:\n${formatTable(part)}`;
  }
  return `${name}: ${formatCell(part)}`;
}

function formatCell(value: unknown): string {
  if (value === undefined || value === null) return "-";
  if (Array.isArray(value)) return value.map(formatCell).join(", ") || "-";
  if (ResourcesCodec.is(value)) return formatResources(value);
  if (isRecord(value)) {
    return Object.entries(value)
      .map(([name, part]) => `${name}=${formatCell(part)}`)
      .join(" ");
  }
  return String(value);
}

function formatResources(resources: Resources): string {
  const { cpuMillis, memoryMib, accelerators, slots } = resources;
  const parts = [`cpu=${cpuMillis / MILLIS_PER_CORE}`, formatMemory(memoryMib)];
  if (accelerators > 0) parts.push(`accelerators=${accelerators}`);
  return [...parts, `slots=${slots}`].join(" ");
}

function formatMemory(memoryMib: number): string {
  return memoryMib > 0 && memoryMib % MIB_PER_GIB === 0
    ? `memory=${memoryMib / MIB_PER_GIB}GiB`
    : `memory=${memoryMib}MiB`;
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isRows(value: unknown): value is Record<string, unknown>[] {
  return Array.isArray(value) && value.every(isRecord);
}

/** Logs: JSON lines. Prompts, answers and keys are never logged. */
import { destination, type Logger as PinoLogger, pino } from "pino";

/** A logger of JSON lines. */
export type Logger = PinoLogger;

/** Severity from which lines are written. */
export const LOG_LEVELS = [
  "trace",
  "debug",
  "info",
  "warn",
  "error",
  "silent",
] as const;

/** One of {@link LOG_LEVELS}. */
export type LogLevel = (typeof LOG_LEVELS)[number];

/**
 * Lines that wait are written together up to this size, PIPE_BUF of Linux: a pipe that several
 * processes write to keeps longer writes in pieces, with other processes' lines between them.
 */
const WHOLE_BYTES = 4096;

/** What a logger is made from. */
export interface LoggerOptions {
  /** Lowest severity that is written. */
  level: LogLevel;
  /** Bound to each line: `entry`, `agent` and so on. */
  role: string;
  /** Bound to each line: the process's id. */
  processId: string;
  /** Standard output, written without waiting; else standard error, line by line. */
  toStdout?: boolean;
}

/**
 * @param options Level, bound fields and destination.
 * @returns A logger.
 */
export function createLogger(options: LoggerOptions): Logger {
  return pino(
    {
      level: options.level,
      base: { role: options.role, processId: options.processId },
    },
    options.toStdout
      ? destination({ dest: 1, sync: false, maxWrite: WHOLE_BYTES })
      : destination({ dest: 2, sync: true }),
  );
}

/**
 * @returns A logger that writes nothing, for tests and tools.
 */
export function createSilentLogger(): Logger {
  return pino({ level: "silent" });
}

/**
 * Hands the bytes of a connection to Node's HTTP parser piece by piece. The parser would read all requests
 * of a chunk at once, and a chunk of small requests takes a hundred times its size. A piece holds at most
 * one head; further ones wait until the connection may be read on.
 */
import type { Socket } from "node:net";

/** End of a head. */
const HEAD_END = "\r\n\r\n";
/** Largest piece of a body in chunks, which may end with further requests. */
const PIECE_BYTES = 512;
const EMPTY = Buffer.alloc(0);

/** State of a connection's input. */
type Expected =
  /** The head of the next request. */
  | { kind: "head" }
  /** The rest of a body of declared length. */
  | { kind: "body"; leftBytes: number }
  /** A body in chunks, or the head behind it. */
  | { kind: "chunks"; isComplete(): boolean };

const HEAD: Expected = { kind: "head" };

/** How a request declares its body. */
export interface DeclaredBody {
  /** Its length; undefined if it is sent in chunks. */
  sizeBytes: number | undefined;
  /** Whether all of the request was parsed. */
  isComplete(): boolean;
}

/** Decisions about a connection. */
export interface PacedInputOptions {
  /** Whether another request may be parsed; asked before each piece. */
  mayRead(): boolean;
  /** Called after bytes were read and, as far as they may be, parsed. */
  onRead(): void;
}

/** Input of one connection. */
export class PacedInput {
  readonly #socket: Socket;
  readonly #options: PacedInputOptions;
  readonly #push: (chunk: Buffer | null) => boolean;
  #expected: Expected = HEAD;
  /** Bytes that were read and not parsed yet. */
  #waiting: Buffer = EMPTY;
  #hasEnded = false;
  #isParsing = false;
  #headBytes = 0;
  /** Bytes that may still be dropped; undefined if bytes are parsed. */
  #dropBytes: number | undefined;

  private constructor(socket: Socket, options: PacedInputOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#push = socket.push.bind(socket);
    socket.push = (chunk: Buffer | null) => this.#receive(chunk);
    // Each piece would have the stream read on, and more bytes would wait with each.
    const read = socket._read.bind(socket);
    socket._read = (sizeBytes) => {
      if (this.#waiting.length === 0) read(sizeBytes);
    };
    // Has Node read the connection itself; else its parser does, past all streams.
    socket.on("data", () => {});
    socket.on("resume", () => this.continue());
  }

  /**
   * @param socket A connection to which Node has attached its parser.
   * @param options When it is read on.
   * @returns Its input.
   */
  static create(socket: Socket, options: PacedInputOptions): PacedInput {
    return new PacedInput(socket, options);
  }

  /** Bytes of a head that has not arrived whole. */
  get headBytes(): number {
    return this.#headBytes;
  }

  /** Bytes that were read and not parsed yet. */
  get waitingBytes(): number {
    return this.#waiting.length;
  }

  /** Whether the connection is read no further for now. */
  get isHeldBack(): boolean {
    return this.#waiting.length > 0 && this.#dropBytes === undefined;
  }

  /**
   * Reports that the parser has read a head.
   *
   * @param body The body behind it.
   * @returns Size of the head.
   */
  endHead({ sizeBytes, isComplete }: DeclaredBody): number {
    const headBytes = this.#headBytes;
    this.#headBytes = 0;
    if (sizeBytes === undefined) {
      this.#expected = { kind: "chunks", isComplete };
    } else if (sizeBytes > 0) {
      this.#expected = { kind: "body", leftBytes: sizeBytes };
    } else this.#expected = HEAD;
    return headBytes;
  }

  /** Parses what waits, as far as it may be. */
  continue(): void {
    if (this.#waiting.length > 0 || this.#hasEnded) this.#parse();
  }

  /**
   * Parses nothing any more, and drops what arrives.
   *
   * @param maxBytes Most bytes that are dropped before the connection is closed.
   */
  drop(maxBytes: number): void {
    this.#dropBytes = maxBytes - this.#waiting.length;
    this.#waiting = EMPTY;
    this.#push(EMPTY);
    this.#socket.resume();
  }

  #receive(chunk: Buffer | null): boolean {
    if (this.#dropBytes !== undefined) return this.#discard(chunk);
    if (chunk === null) this.#hasEnded = true;
    else {
      this.#waiting = this.#waiting.length > 0
        ? Buffer.concat([this.#waiting, chunk])
        : chunk;
    }
    return this.#parse();
  }

  #discard(chunk: Buffer | null): boolean {
    if (chunk === null) return this.#push(null);
    this.#dropBytes! -= chunk.length;
    if (this.#dropBytes! < 0) this.#socket.destroy();
    return this.#push(EMPTY);
  }

  /** Returns whether the connection is read on. */
  #parse(): boolean {
    if (this.#isParsing) return false;
    this.#isParsing = true;
    let takesMore = true;
    while (this.#waiting.length > 0 && this.#mayParse()) {
      takesMore = this.#push(this.#takePiece());
    }
    this.#isParsing = false;
    const isDone = this.#waiting.length === 0;
    if (isDone && this.#hasEnded && this.#dropBytes === undefined) {
      this.#hasEnded = false;
      this.#push(null);
    }
    this.#options.onRead();
    return isDone && takesMore;
  }

  #mayParse(): boolean {
    const expected = this.#expected;
    if (expected.kind === "chunks" && expected.isComplete()) {
      this.#expected = HEAD;
    }
    return !this.#socket.destroyed && !this.#socket.isPaused() &&
      (this.#expected.kind !== "head" || this.#options.mayRead());
  }

  #takePiece(): Buffer {
    const sizeBytes = this.#pieceBytes();
    const piece = this.#waiting.subarray(0, sizeBytes);
    this.#waiting = this.#waiting.subarray(sizeBytes);
    return piece;
  }

  /** Returns the size of the next piece, which is counted as read. */
  #pieceBytes(): number {
    const { length } = this.#waiting;
    const expected = this.#expected;
    switch (expected.kind) {
      case "head": {
        const endsAt = this.#waiting.indexOf(HEAD_END);
        const sizeBytes = endsAt < 0 ? length : endsAt + HEAD_END.length;
        this.#headBytes += sizeBytes;
        return sizeBytes;
      }
      case "body": {
        const sizeBytes = Math.min(expected.leftBytes, length);
        expected.leftBytes -= sizeBytes;
        if (expected.leftBytes === 0) this.#expected = HEAD;
        return sizeBytes;
      }
      case "chunks":
        return Math.min(PIECE_BYTES, length);
    }
  }
}

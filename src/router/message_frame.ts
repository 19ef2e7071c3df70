/** Frames of the datagrams between entries that are not gossip: a JSON object with one field. */

/** Encodes and recognizes the datagrams of one kind. */
export class MessageFrame {
  readonly #field: string;
  readonly #prefix: Buffer;

  private constructor(field: string) {
    this.#field = field;
    this.#prefix = Buffer.from(`{${JSON.stringify(field)}:`);
  }

  /**
   * @param field Field that tells these datagrams from others on the same port.
   * @returns Their frame.
   */
  static create(field: string): MessageFrame {
    return new MessageFrame(field);
  }

  /**
   * @param row Values of a message; they have no names, as messages are frequent.
   * @returns The datagram.
   */
  encode(row: unknown[]): Buffer {
    return Buffer.from(JSON.stringify({ [this.#field]: row }));
  }

  /**
   * @param bytes A datagram.
   * @returns Whether it has this frame; it may still be malformed.
   */
  matches(bytes: Buffer): boolean {
    return bytes.subarray(0, this.#prefix.length).equals(this.#prefix);
  }

  /**
   * @param bytes A datagram with this frame.
   * @returns The values of its message, or undefined if it is malformed.
   */
  decode(bytes: Buffer): unknown[] | undefined {
    let parsed: unknown;
    try {
      parsed = JSON.parse(bytes.toString());
    } catch {
      return undefined;
    }
    const row = (parsed as Record<string, unknown> | null)?.[this.#field];
    return Array.isArray(row) ? row : undefined;
  }
}

/** @returns Whether a value of a message is a text. */
export function isText(value: unknown): value is string {
  return typeof value === "string";
}

/** @returns Whether a value of a message is a finite number from 0 up. */
export function isAmount(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/** @returns Whether a value of a message is true or false. */
export function isFlag(value: unknown): value is boolean {
  return typeof value === "boolean";
}

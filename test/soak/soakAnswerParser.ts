/** Parser of the answers on one connection, which tells whole answers from broken ones. */

/** One answer, whole or as far as it has arrived. */
export interface ParsedAnswer {
  status: number;
  /** Request id in the answer. */
  id: string | undefined;
  /** The body, without what exceeds `MAX_BODY_CHARS`. */
  body: string;
  complete: boolean;
}

/** What the parser reads next. */
type Section = 'head' | 'body' | 'chunk-size' | 'chunk' | 'chunk-end' | 'trailer';

const MAX_BODY_CHARS = 10_000;
const LINE_END = '\r\n';
const HEAD_END = '\r\n\r\n';

/**
 * Parses answers with a content length or chunked coding, in the order of their requests.
 *
 * @example
 * const parser = new AnswerParser();
 * socket.on('data', (bytes: Buffer) => parser.push(bytes));
 * assert.equal(parser.answers[0]?.complete, true);
 */
export class AnswerParser {
  readonly answers: ParsedAnswer[] = [];
  #section: Section = 'head';
  #unread: Buffer = Buffer.alloc(0);
  /** Bytes of the body or chunk that have not arrived yet. */
  #missing = 0;

  /** Number of whole answers. */
  get completed(): number {
    return this.answers.filter(({ complete }) => complete).length;
  }

  push(bytes: Buffer): void {
    this.#unread = this.#unread.length === 0 ? bytes : Buffer.concat([this.#unread, bytes]);
    while (this.#unread.length > 0 && this.#step());
  }

  /** Reads one section or a part of a body; returns false if more bytes are needed. */
  #step(): boolean {
    switch (this.#section) {
      case 'head':
        return this.#readHead();
      case 'body':
        this.#readBody();
        if (this.#missing === 0) this.#complete();
        return true;
      case 'chunk':
        this.#readBody();
        if (this.#missing === 0) this.#section = 'chunk-end';
        return true;
      case 'chunk-size':
      case 'chunk-end':
      case 'trailer':
        return this.#readLine(this.#section);
    }
  }

  #readHead(): boolean {
    const head = this.#take(HEAD_END);
    if (head === undefined) return false;
    const field = (name: string): string | undefined =>
      new RegExp(`^${name}: *(.*?)\\s*$`, 'im').exec(head)?.[1];
    const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0);
    this.answers.push({ status, id: field('x-request-id'), body: '', complete: false });
    this.#missing = Number(field('content-length') ?? 0);
    if (field('transfer-encoding') === 'chunked') this.#section = 'chunk-size';
    else if (this.#missing > 0) this.#section = 'body';
    else this.#complete();
    return true;
  }

  #readBody(): void {
    const part = this.#unread.subarray(0, this.#missing);
    this.#unread = this.#unread.subarray(part.length);
    this.#missing -= part.length;
    const answer = this.answers.at(-1);
    if (answer && answer.body.length < MAX_BODY_CHARS) {
      answer.body = (answer.body + part.toString('latin1')).slice(0, MAX_BODY_CHARS);
    }
  }

  #readLine(section: 'chunk-size' | 'chunk-end' | 'trailer'): boolean {
    const line = this.#take(LINE_END);
    if (line === undefined) return false;
    if (section === 'chunk-size') {
      this.#missing = parseInt(line, 16);
      this.#section = this.#missing === 0 ? 'trailer' : 'chunk';
    } else if (section === 'chunk-end') this.#section = 'chunk-size';
    else if (line === '') this.#complete();
    return true;
  }

  /** Takes the text before a delimiter; undefined if the delimiter has not arrived. */
  #take(delimiter: string): string | undefined {
    const end = this.#unread.indexOf(delimiter);
    if (end < 0) return undefined;
    const text = this.#unread.subarray(0, end).toString('latin1');
    this.#unread = this.#unread.subarray(end + delimiter.length);
    return text;
  }

  #complete(): void {
    const answer = this.answers.at(-1);
    if (answer) answer.complete = true;
    this.#section = 'head';
  }
}

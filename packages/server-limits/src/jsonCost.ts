/** Estimates what parsing a JSON text takes, before it is parsed. */

/** An array or object, or a member of one, in V8's heap. */
const bytesPerValue = 64;
/** The text itself, and the strings parsed from it. */
const textCopies = 2;
const comma = 0x2c;
const openBracket = 0x5b;
const openBrace = 0x7b;

/** Estimates of memory. */
export const jsonCost = {
  /** The bytes that the text of a JSON body and its values take; counts values by the bytes that separate them. */
  of: (body: Uint8Array): number => {
    let values = 0;
    for (const byte of body) if (byte === comma || byte === openBracket || byte === openBrace) values += 1;
    return body.length * textCopies + values * bytesPerValue;
  },
};

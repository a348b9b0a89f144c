/** Addresses of nodes as text, `HOST:PORT`. */

/** Splits addresses of the form `HOST:PORT`; the host may contain colons. */
export const addresses = {
  split: (address: string): { host: string; port: number } => {
    const at = address.lastIndexOf(':');
    return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
  },
};

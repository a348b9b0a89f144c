/** Addresses of nodes as text, `HOST:PORT`. */

/** Addresses as `HOST:PORT`; the host may hold colons itself. */
export const addresses = {
  split: (address: string): { host: string; port: number } => {
    const at = address.lastIndexOf(':');
    return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
  },
};

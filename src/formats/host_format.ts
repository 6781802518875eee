import {z} from 'zod';
import {Host} from '../types';

const MAX_ID_LENGTH = 255;
const MAX_PORT = 65_535;
const MAX_SLOTS = 65_536;

/** Format of a worker in the platform's host list. */
export const hostFormat: z.ZodType<Host> = z
  .looseObject({
    id: z.string().min(1).max(MAX_ID_LENGTH),
    address: z.string(),
    port: z.int().min(1).max(MAX_PORT),
    rack: z.string(),
    availabilityZone: z.string(),
    processors: z.number().min(0),
    memoryMb: z.number().min(0),
    accelerators: z.number().min(0),
    slots: z.int().min(0).max(MAX_SLOTS),
    connections: z.int().min(0).max(MAX_SLOTS),
    initialPool: z.string(),
    leaving: z.boolean(),
  })
  .refine(isDialable, {path: ['address'], message: 'is not an address'});

/** Whether the address and the port form the authority of a URL. */
function isDialable({address, port}: Host): boolean {
  const url = `http://${address}:${port}`;
  if (!URL.canParse(url)) return false;
  const {hostname, username, pathname, search, hash} = new URL(url);
  return (
    hostname === address.toLowerCase() &&
    `${username}${search}${hash}` === '' &&
    pathname === '/'
  );
}

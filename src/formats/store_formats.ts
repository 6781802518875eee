import {z} from 'zod';
import {
  StoreChanges,
  StoreEntry,
  StoreListing,
  SwapResult,
  TransactionResult,
} from '../ports';

const revision = z.number().min(0);

const entry = z.looseObject({
  key: z.string(),
  value: z.string(),
  version: revision,
  leaseId: z.string().optional(),
});

const change = z.looseObject({
  key: z.string(),
  revision,
  entry: entry.optional(),
});

/** Format of an entry; null and undefined mean that the key does not exist. */
export const storeEntryFormat: z.ZodType<StoreEntry | undefined> = entry
  .nullish()
  .transform(found => found ?? undefined);

/** Format of the keys under a prefix. */
export const storeListingFormat: z.ZodType<StoreListing> = z.looseObject({
  revision,
  entries: z.array(entry),
});

/** Format of the answer to a watch. */
export const storeChangesFormat: z.ZodType<StoreChanges> = z.looseObject({
  revision,
  changes: z.array(change),
  compacted: z.boolean(),
});

/** Format of the answer to a compare-and-swap. */
export const swapResultFormat: z.ZodType<SwapResult> = z.looseObject({
  swapped: z.boolean(),
  version: revision,
  found: entry.optional(),
});

/** Format of the answer to a transaction. */
export const transactionResultFormat: z.ZodType<TransactionResult> =
  z.looseObject({
    applied: z.boolean(),
    revision,
    found: z.array(entry),
  });

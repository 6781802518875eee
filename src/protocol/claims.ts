import {
  ClaimReply,
  ClaimRequest,
  FinishReply,
  FinishRequest,
} from '../decisions/claims';
import {createMethod} from './method';
import {sesamefront} from './generated/claims';

const messages = sesamefront.claims;

/** Method that requests a claim from the owner of a partition. */
export const claimMethod = createMethod<ClaimRequest, ClaimReply>(
  '/sesamefront.claims.Claims/Claim',
  {
    encode: value => messages.ClaimRequest.encode(value),
    decode: bytes =>
      messages.ClaimRequest.decode(bytes) as unknown as ClaimRequest,
  },
  {
    encode: value => messages.ClaimReply.encode(value),
    decode: bytes => messages.ClaimReply.decode(bytes) as unknown as ClaimReply,
  },
);

/**
 * Method that reports the end of a claimed request to the owner of its
 * partition.
 */
export const finishMethod = createMethod<FinishRequest, FinishReply>(
  '/sesamefront.claims.Claims/Finish',
  {
    encode: value => messages.FinishRequest.encode(value),
    decode: bytes =>
      messages.FinishRequest.decode(bytes) as unknown as FinishRequest,
  },
  {
    encode: value => messages.FinishReply.encode(value),
    decode: bytes =>
      messages.FinishReply.decode(bytes) as unknown as FinishReply,
  },
);

/** Decisions about members and leaders. */
export * from './preferred_member';

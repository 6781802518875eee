/** The operators' page. */
export * from './page_routes';
export * from './write_page';

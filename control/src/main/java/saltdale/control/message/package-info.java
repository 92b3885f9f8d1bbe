/** The messages between control nodes and proxies: one record per kind, and one codec for all of them. */
package saltdale.control.message;

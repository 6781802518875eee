Feature: TLS on every port, with certificate reload
  Certificates can be replaced without a restart of the process.

  @real-clock
  Scenario: Calls to the operator port require a token or a client certificate
    Given an operator port with TLS and the token "a-long-token"
    Then a call without a token or a client certificate gets 401
    And a call with the token gets 200
    And a call with a client certificate from the trusted authority gets 200
    And a call with a client certificate from another authority gets 401

  @real-clock
  Scenario: New connections are served the new certificate after a replacement
    Given an operator port with TLS and the token "a-long-token"
    When the port's certificate is replaced
    Then a new connection is served the new certificate

  @real-clock
  Scenario: Members without a certificate from the trusted authority are refused
    Given a peer port with mutual TLS
    Then a heartbeat with a certificate from the trusted authority is answered
    And a heartbeat with a certificate from another authority is not answered

  Scenario: A key that does not match the certificate is reported and the last valid pair stays in use
    Given TLS files with a certificate and its key
    When the key file is replaced by a key that does not match
    And 5 seconds pass until the reload
    Then the finding names "tls-key" and the first certificate stays in use
    When the certificate file is replaced by the one that matches the key
    And 5 seconds pass until the reload
    Then the second certificate is in use

  # Guards against a port that throws on reload, which ended the process.
  @real-clock
  Scenario: A certificate chain that is read while it is written is not used
    Given TLS files with a certificate and its key
    And a port that uses them
    When the certificate file has a second certificate that is cut off
    And 6 seconds pass
    Then the finding names "tls-certificate" and the first certificate stays in use
    And the port still answers

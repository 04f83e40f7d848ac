//! Starts a small deployment on loopback, runs one session through it and prints what each step showed.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use tanagerdeal_testbed::deployment::{Deployment, DeploymentPlan};
use tokio_postgres::{Client, Config, NoTls, SimpleQueryMessage};

/// Bound of the design page for the time until a revoked key stops working.
const REVOCATION_LIMIT: Duration = Duration::from_secs(5);

/// Bound of the design page for the time without an acknowledged write.
const FAILOVER_LIMIT: Duration = Duration::from_secs(9);

/// Name of the group of the deployment.
const GROUP: &str = "orders-1";

type StepResult = Result<String, Box<dyn Error>>;

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => {
            println!("all steps held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), Box<dyn Error>> {
    let mut deployment = Deployment::start(DeploymentPlan::small()).await?;
    deployment.start_hosts().await?;
    println!("started: platform, {} members, {} hosts", 3, deployment.hosts().count());
    let customers: Vec<String> =
        deployment.plan().customers.iter().map(|customer| customer.name.clone()).collect();
    let (first, second) = (customers[0].as_str(), customers[1].as_str());
    show("a session reads its own write after it has roamed", roam(&deployment, first).await)?;
    show("a repeated request is executed once", repeat(&deployment, first).await)?;
    show("a revoked key stops on an open connection", revoke(&deployment, first, second).await)?;
    show("writes go on after the primary was killed", fail_over(&mut deployment, first).await)?;
    show("a host shuts down without cutting a request", shut_down(&mut deployment, first).await)?;
    Ok(())
}

fn show(claim: &str, result: StepResult) -> Result<(), Box<dyn Error>> {
    match result {
        Ok(detail) => {
            println!("held: {claim} ({detail})");
            Ok(())
        }
        Err(error) => {
            let cause = error.source().map(|cause| format!(": {cause}")).unwrap_or_default();
            Err(format!("{claim}: {error}{cause}").into())
        }
    }
}

/// Writes through one host and reads at another with the session token.
async fn roam(deployment: &Deployment, customer: &str) -> StepResult {
    let hosts: Vec<SocketAddr> = deployment.hosts().map(|host| host.caller).collect();
    let writer = connect(deployment, hosts[0], customer, "").await?;
    writer.simple_query("INSERT INTO items VALUES ('sleeper', 40, 'w1')").await?;
    let token = first_value(&writer, "SHOW tanagerdeal.session_token").await?;
    drop(writer);
    let options = format!("-c tanagerdeal.session_token={token}");
    let reader = connect(deployment, hosts[1], customer, &options).await?;
    match first_value(&reader, "SELECT amount FROM items WHERE item = 'sleeper'").await?.as_str() {
        "40" => Ok(format!("token of {} bytes", token.len())),
        other => Err(format!("read {other:?}, expected 40").into()),
    }
}

/// Sends one write twice, through two hosts, with the same request id.
async fn repeat(deployment: &Deployment, customer: &str) -> StepResult {
    for host in deployment.hosts().take(2) {
        let client = connect(deployment, host.caller, customer, "").await?;
        client.simple_query("SET tanagerdeal.request_id = 'order-1'").await?;
        client.simple_query("UPDATE items SET amount = amount + 1 WHERE item = 'sleeper'").await?;
    }
    let host = deployment.hosts().next().ok_or("no host")?;
    let client = connect(deployment, host.caller, customer, "").await?;
    let text = "SELECT amount FROM items WHERE item = 'sleeper'";
    match first_value(&client, text).await?.as_str() {
        "41" => Ok("the amount rose by 1 for 2 requests".to_owned()),
        other => Err(format!("amount is {other:?}, expected 41").into()),
    }
}

/// Withdraws the key of one customer while connections of two are open.
async fn revoke(deployment: &Deployment, kept: &str, revoked: &str) -> StepResult {
    let host = deployment.hosts().next().ok_or("no host")?;
    let kept_client = connect(deployment, host.caller, kept, "").await?;
    let client = connect(deployment, host.caller, revoked, "").await?;
    client.simple_query("SELECT item FROM items").await?;
    let key = deployment.key_name(revoked);
    deployment.operate("quickstart", &["withdraw", "key", &key]).await?;
    let accepted_at = Instant::now();
    while client.simple_query("SELECT item FROM items").await.is_ok() {
        if accepted_at.elapsed() > REVOCATION_LIMIT {
            return Err("the key still works after 5 s".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let took = accepted_at.elapsed().as_millis();
    kept_client.simple_query("SELECT item FROM items").await?;
    Ok(format!("{took} ms after the change was accepted; another customer goes on"))
}

/// Kills the primary and measures the time until a write is acknowledged again.
async fn fail_over(deployment: &mut Deployment, customer: &str) -> StepResult {
    let primary = deployment.primary_of(GROUP).await.ok_or("no primary")?;
    let host = deployment.hosts().next().ok_or("no host")?.caller;
    let client = connect(deployment, host, customer, "").await?;
    client.simple_query("INSERT INTO items VALUES ('ballast', 7, 'w2')").await?;
    deployment.kill(&primary).await?;
    let killed_at = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        let text = format!("INSERT INTO items VALUES ('wagon-{number}', 1, 'w3')");
        match client.simple_query(&text).await {
            Ok(_) => break,
            Err(error) if killed_at.elapsed() > FAILOVER_LIMIT => return Err(error.into()),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    let gap = killed_at.elapsed().as_millis();
    let text = "SELECT amount FROM items WHERE item = 'ballast'";
    match first_value(&client, text).await?.as_str() {
        "7" => Ok(format!("{gap} ms without a write; the last write before is there")),
        other => Err(format!("read {other:?}, expected 7").into()),
    }
}

/// Asks a host to shut down while a slow request runs on it.
async fn shut_down(deployment: &mut Deployment, customer: &str) -> StepResult {
    let host = deployment.hosts().last().ok_or("no host")?;
    let (name, address) = (host.name.clone(), host.caller);
    let client = connect(deployment, address, customer, "").await?;
    let slow = tokio::spawn(async move { client.simple_query("SELECT pg_sleep_ms(1500)").await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    deployment.terminate(&name)?;
    slow.await??;
    match deployment.wait_host(&name, Duration::from_secs(40)).await? {
        Some(0) => Ok(format!("{name} ended with exit code 0")),
        code => Err(format!("{name} ended with {code:?}").into()),
    }
}

async fn connect(
    deployment: &Deployment,
    address: SocketAddr,
    customer: &str,
    options: &str,
) -> Result<Client, Box<dyn Error>> {
    let mut config = Config::new();
    config.host(address.ip().to_string()).port(address.port()).dbname("orders");
    config.user(customer).password(deployment.password(customer)).options(options);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn first_value(client: &Client, text: &str) -> Result<String, Box<dyn Error>> {
    let messages = client.simple_query(text).await?;
    let value = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    value.ok_or_else(|| format!("{text:?} returned no value").into())
}

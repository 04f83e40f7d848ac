//! Relay of links; prints the bound control address as one line of JSON.

use clap::{Arg, Command, value_parser};
use serde_json::json;
use tanagerdeal_testbed::control::{end_with_input, end_with_input_flag};
use tokio::net::TcpListener;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let control = Arg::new("control").long("control").default_value("127.0.0.1:0");
    let seed = Arg::new("seed").long("seed").default_value("1").value_parser(value_parser!(u64));
    let matches =
        Command::new("link-relay").arg(control).arg(seed).arg(end_with_input_flag()).get_matches();
    end_with_input(&matches);
    let control: &String = matches.get_one("control").expect("the argument has a default");
    let seed: u64 = *matches.get_one("seed").expect("the argument has a default");
    let listener = TcpListener::bind(control).await?;
    println!("{}", json!({"control": listener.local_addr()?.to_string()}));
    tanagerdeal_testbed::relay::serve(listener, seed).await
}
